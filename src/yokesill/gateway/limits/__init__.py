"""Limits on a node's use of servers: the extra-attempt budget and the node's share of capacity."""
