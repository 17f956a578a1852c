"""The administration API: operators edit the catalogue and see what is in force."""
