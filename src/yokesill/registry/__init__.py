"""Keeps a node up to date with the registry, by its own calls or through its zone's watchers."""
