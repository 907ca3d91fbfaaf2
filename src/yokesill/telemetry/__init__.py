"""Log lines and metrics of a node's decisions; metrics are counted immediately and rendered on demand."""
