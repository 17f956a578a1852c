"""Entry instances, their routing leases, and the links between them."""
