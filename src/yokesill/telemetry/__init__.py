"""Log lines and metrics of a node's decisions: counted as they happen, rendered when they are asked for."""
