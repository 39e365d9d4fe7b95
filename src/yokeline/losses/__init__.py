"""What is known of the attempts under which engines end, and which requests may still be sent."""
