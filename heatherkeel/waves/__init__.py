"""Maintenance waves: who is drained next, within every availability budget."""
