"""Open-loop load, checkers of the guarantees, and reports; over HTTP or in virtual time."""
