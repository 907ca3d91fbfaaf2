"""What bounds a node's use of servers: the budget of extra attempts and the node's share of capacity."""
