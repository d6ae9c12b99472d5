s/sent\[0\].order == 0 \&\& view\[1\].departed/false \&\& view[1].departed/
s/sent\[0\].order == 0 \&\& view\[2\].departed/false \&\& view[2].departed/
