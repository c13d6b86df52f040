// Package rawjson finds where the values of a JSON text (RFC 8259) begin and end, without decoding them. It serves for
// texts that contain values of other writers: a parser refuses a whole text because of one value that it can't decode.
//
// Nesting has no limit and takes no stack. Strings may contain any bytes, names may occur more than once, and numbers
// and literals aren't checked: none of these hides where a value ends. Everything else that violates the grammar does,
// and is an error.
package rawjson
