"""Fault-injection soak test: real gateway nodes between stand-ins on loopback, with faults injected."""
