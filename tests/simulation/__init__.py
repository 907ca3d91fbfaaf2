"""Whole clusters in one process, in virtual time: the real node code over in-memory edges."""
