# A lost connection counts as not run although the call was handed to the socket.
s/waiting && written -> fail(UNKNOWN)/waiting \&\& written -> fail(NOT_RUN)/
