"""The catalogue: versioned entries that operators edit, each with an owner and limits."""
