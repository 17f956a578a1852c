"""Entry instances, their routing leases, and what is known of who is alive."""
