package upstream

import "github.com/cockroachdb/errors"

// maxErrorBytes is the longest text of an error of a response.
const maxErrorBytes = 256

// ShortenError bounds the text of an error. A parse error quotes the line that could not be
// parsed, and the server decides how long that is; the text is logged and sent to callers.
func ShortenError(err error) error {
	if err == nil {
		return nil
	}
	text := err.Error()
	if len(text) <= maxErrorBytes {
		return err
	}
	return errors.Newf("%s... (%d bytes)", text[:maxErrorBytes], len(text))
}
