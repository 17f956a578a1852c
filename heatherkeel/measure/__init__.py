"""Commands that measure decisions; their figures go into the design notes."""
