"""The director's engine: requests, attempts and outcomes. It knows no wire, no socket and no trio."""
