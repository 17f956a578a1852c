"""The users' platform: its names, calls and records, decoded once into types of our own.

Nothing here decides anything, and nothing outside knows how the platform spells things.
"""
