"""What a node tells of its decisions: log lines and figures."""
