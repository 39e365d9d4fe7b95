"""Labels, selectors, configuration objects, and how policies resolve for a program."""
