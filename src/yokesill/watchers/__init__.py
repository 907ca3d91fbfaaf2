"""Which few nodes of a zone watch the registry, and what they report to the others; sans I/O."""
