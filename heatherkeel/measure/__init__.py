"""Measurements: the hop, the three measures of the brief, slopes for the capacity page."""
