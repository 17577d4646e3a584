"""Console programs: thin command lines over modules that are usable without them."""
