#pragma once

#include "state/configuration.h"
#include "state/document_fault.h"
#include "state/entity.h"

#include <string>
#include <string_view>
#include <vector>

namespace sardinelb {

// Parses a complete configuration document, as an operator keeps it in a file. Fields: `naming_schemes` (array of
// names), `pools`, `models`, `instances`, `teams`, `runners`, `services` and `groups` (arrays of entities with an
// `id`). All fields are optional. Names and references are not checked against each other.
document_result<std::vector<entity>> parseDocument(std::string_view text, const std::string& file);

// Parses a document like parseDocument and also checks references and names. The result has version 0.
document_result<configuration> parseConfiguration(std::string_view text, const std::string& file);

// Returns the document of the configuration, indented for readability.
std::string documentOf(const configuration&);

}
