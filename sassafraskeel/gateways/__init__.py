"""The interface between gateway hosts."""
