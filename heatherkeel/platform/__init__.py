"""Clients and models for the users' platform.

The platform's names for fields, headers and paths are used in this package only.
"""
