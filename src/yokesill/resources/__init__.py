"""Typed, immutable configuration documents, their keys and their stored revisions."""
