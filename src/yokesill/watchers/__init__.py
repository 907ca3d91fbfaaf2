"""Selects the few nodes of a zone that watch the registry, and encodes their reports; sans I/O."""
