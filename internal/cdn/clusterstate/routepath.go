package clusterstate

import "strings"

// canonicalPath returns a path or a prefix in the spelling in which routes compare them: percent-encoded bytes are decoded, except for
// slashes, which would divide a segment, and percent signs. A path in two spellings gives the same result if both divide into the same
// segments; "." and ".." are segments like others.
func canonicalPath(path string) string {
	first := strings.IndexByte(path, '%')
	if first < 0 {
		return path
	}
	canonical := append(make([]byte, 0, len(path)+2), path[:first]...)
	for i := first; i < len(path); i++ {
		if path[i] != '%' {
			canonical = append(canonical, path[i])
			continue
		}
		decoded, valid := decodeHex(path[i+1:])
		switch {
		case !valid: // a percent sign that stands for itself, as operators may write prefixes
			canonical = append(canonical, "%25"...)
			continue
		case decoded == '/':
			canonical = append(canonical, "%2F"...)
		case decoded == '%':
			canonical = append(canonical, "%25"...)
		default:
			canonical = append(canonical, decoded)
		}
		i += hexDigits
	}
	return string(canonical)
}

// hexDigits is the number of digits of an encoded byte.
const hexDigits = 2

// decodeHex returns the byte that a text's first two hexadecimal digits stand for.
func decodeHex(text string) (decoded byte, valid bool) {
	if len(text) < hexDigits {
		return 0, false
	}
	for _, digit := range []byte(text[:hexDigits]) {
		switch {
		case '0' <= digit && digit <= '9':
			decoded = decoded<<4 | (digit - '0')
		case 'a' <= digit|0x20 && digit|0x20 <= 'f':
			decoded = decoded<<4 | (digit | 0x20 - 'a' + 10)
		default:
			return 0, false
		}
	}
	return decoded, true
}
