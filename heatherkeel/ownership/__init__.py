"""Which process owns which partition, by the platform's word."""
