"""Cluster membership: a SWIM-style failure detector and member table, sans I/O."""
