"""Drives ``routing`` over real I/O: attempts, timers, answers, idempotent repeats."""
