"""Batch and urgent jobs, decided by the fold: submission, placement, retries and draining."""
