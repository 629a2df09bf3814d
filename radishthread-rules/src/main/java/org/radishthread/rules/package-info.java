/**
 * Parser and model of rule files. A rule file has one rule per line, each with a comment
 * that names the person who requested it.
 */
@NullMarked
package org.radishthread.rules;

import org.jspecify.annotations.NullMarked;
