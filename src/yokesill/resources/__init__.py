"""Typed, immutable documents that operators write, and the revisions they have."""
