"""Which few nodes of a zone watch the registry, and what they tell the others; sans I/O."""
