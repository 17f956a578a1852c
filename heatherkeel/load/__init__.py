"""Open-loop load on loopback: a slow system is not asked less."""
