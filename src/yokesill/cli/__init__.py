"""The ``yokesill`` command: one module per subcommand."""
