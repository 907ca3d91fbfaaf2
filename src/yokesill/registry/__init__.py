"""Keeps a node up to date with the registry, by itself or through its zone's watchers."""
