"""What bounds a node's use of servers: the budget of extra attempts and this node's share."""
