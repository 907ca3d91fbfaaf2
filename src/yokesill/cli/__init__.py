"""The ``yokesill`` command: one file a subcommand."""
