"""The entry points of the command-line programs."""
