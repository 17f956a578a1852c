"""What operators edit: entries with an owner, a class and limits, under rising versions."""
