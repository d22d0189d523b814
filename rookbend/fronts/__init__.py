"""The fronts: each translates one protocol of clients into requests of the core, and answers back."""
