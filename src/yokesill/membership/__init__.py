"""Who the members are: a SWIM-style failure detector and member table, sans I/O."""
