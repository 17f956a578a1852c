"""Moves machines between pools and maintains them in waves."""
