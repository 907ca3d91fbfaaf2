"""Replicated configuration: a sans-I/O join over (object, revision), so revisions never decrease."""
