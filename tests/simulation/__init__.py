"""Whole clusters in one process and in virtual time: real node code with in-memory networking and stores."""
