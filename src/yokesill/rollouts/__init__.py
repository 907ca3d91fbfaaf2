"""Moves a service's traffic to another version, coordinated over all nodes, and rolls back a bad version.

Makes decisions only: no I/O and no clock, and times are passed in, in seconds. The design is described in
``docs/design/rollouts.md``.
"""
