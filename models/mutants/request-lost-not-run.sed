# A lost connection counts as not run although the socket accepted the call.
s/waiting && written -> fail(UNKNOWN)/waiting \&\& written -> fail(NOT_RUN)/
