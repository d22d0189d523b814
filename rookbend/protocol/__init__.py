"""Protocol codecs without I/O: state machines that take received bytes and return events and bytes to send."""
