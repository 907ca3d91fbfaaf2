"""Configuration state as a join of (object, revision), sans I/O: it only ever moves forward."""
