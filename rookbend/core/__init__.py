"""The director's engine: requests, attempts and outcomes. Independent of wire protocols, sockets and trio."""
