"""Open-loop load, checkers of the promises, and reports; over HTTP or in virtual time."""
