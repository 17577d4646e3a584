"""Console programs: thin command lines over objects that can be used alone."""
