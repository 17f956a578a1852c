"""Small pieces that all subjects share."""
