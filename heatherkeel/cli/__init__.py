"""The command line: one program with subcommands."""
