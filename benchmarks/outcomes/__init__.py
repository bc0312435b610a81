"""Many random histories of generations and keyed calls."""
